// Package examples embeds the example deployments, so that the demonstration needs no files.
package examples

import "embed"

// SharedPool is the directory of the example that holds both deployments of the users as one system.
const SharedPool = "shared-pool"

// Files holds the traces of the examples, one directory each.
//
//go:embed shared-pool
var Files embed.FS
