// Package carobthreadv1 is the generated code of the caller API and the upstream API.
//
// The messages come from carobthread.proto; run protoc with protoc-gen-go and
// protoc-gen-connect-go to generate them again after a change.
package carobthreadv1
