package main

// cases returns the cases by the number of their folder.
func cases() map[string]caseFunc {
	return map[string]caseFunc{"6": case6, "7": case7, "8": case8, "10": case10}
}
