package main

import (
	"math/rand"
	"sync"
	"time"
)

// dice draws random numbers for several goroutines.
type dice struct {
	mutex  sync.Mutex
	random *rand.Rand
}

func newDice() *dice { return &dice{random: rand.New(rand.NewSource(time.Now().UnixNano()))} }

func (dice *dice) float() float64 {
	dice.mutex.Lock()
	defer dice.mutex.Unlock()
	return dice.random.Float64()
}

func (dice *dice) between(low, high time.Duration) time.Duration {
	return low + time.Duration(dice.float()*float64(high-low))
}
