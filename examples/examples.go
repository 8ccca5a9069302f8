// Package examples embeds the sample settings and sheets of both users.
package examples

import "embed"

// Files holds savings/ and eventos/, each with control.ini, entry.ini,
// client.ini and sheet.csv.
//
//go:embed savings eventos
var Files embed.FS
