// Samphirewharf serves a large catalogue of rarely used models.
package main

func main() {}
