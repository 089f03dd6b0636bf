// Package hostile plays clients that cost a server more than they should: many at once that send or read slowly, stop in the middle of a
// request or send heads of very many fields, and single ones that flood it on one connection. Beside them it plays usual clients, whose
// response times show what the others cost, and it watches the memory of the server's process.
//
// All traffic goes to the address of one process on loopback, and ends by itself.
package hostile
