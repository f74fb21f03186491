package carobthread

import (
	"net/http"
	"slices"
)

// EndsWithConnection reports whether only the end of its connection marks the end of a response, so that a part of the
// response looks like the whole one.
func EndsWithConnection(response *http.Response) bool {
	return response.ProtoMajor == 1 && response.ContentLength < 0 && !slices.Contains(response.TransferEncoding, "chunked")
}
