package surveyor

import "math"

// A Point is one measurement.
type Point struct {
	X float64
	Y float64
}

// A Fit is the least-squares line through points.
type Fit struct {
	// Slope is the change of Y for each unit of X, Intercept the value of Y at X = 0.
	Slope     float64
	Intercept float64
	// Residual is the root mean square of the vertical distances of the points from the line, in units of Y.
	Residual float64
}

// At returns the value of the line at x.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }

// NewFit returns the least-squares line through points, of which at least two must differ in X.
func NewFit(points []Point) Fit {
	n := float64(len(points))
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		sumX += p.X
		sumY += p.Y
		sumXX += p.X * p.X
		sumXY += p.X * p.Y
	}
	f := Fit{Slope: (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)}
	f.Intercept = (sumY - f.Slope*sumX) / n
	squares := 0.0
	for _, p := range points {
		squares += math.Pow(p.Y-f.At(p.X), 2)
	}
	f.Residual = math.Sqrt(squares / n)
	return f
}
