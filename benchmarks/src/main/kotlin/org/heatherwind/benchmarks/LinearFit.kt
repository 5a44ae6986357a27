package org.heatherwind.benchmarks

/** A measurement: the varied [size], and the measured [cost] in the unit of the benchmark. */
internal data class CostPoint(val size: Double, val cost: Double)

/** A line fitted to measurements by least squares. */
internal data class LinearFit(val costPerUnit: Double, val base: Double) {
    /** Returns the cost at [size] on the line. */
    fun at(size: Double): Double = base + costPerUnit * size

    companion object {
        fun through(points: List<CostPoint>): LinearFit {
            val meanSize = points.map { it.size }.average()
            val meanCost = points.map { it.cost }.average()
            val squaredDeviation = points.sumOf { (it.size - meanSize) * (it.size - meanSize) }
            val slope = points.sumOf { (it.size - meanSize) * (it.cost - meanCost) } / squaredDeviation
            return LinearFit(slope, meanCost - slope * meanSize)
        }
    }
}
