package org.heatherwind.benchmarks

/** One measured point: the [size] that is varied, and the [cost] in the unit of the benchmark. */
internal data class Point(val size: Double, val cost: Double)

/** A least-squares line through measured points. */
internal data class Slope(val costPerUnit: Double, val base: Double) {
    /** Returns the cost at [size] on the line. */
    fun at(size: Double): Double = base + costPerUnit * size

    companion object {
        fun through(points: List<Point>): Slope {
            val meanSize = points.map { it.size }.average()
            val meanCost = points.map { it.cost }.average()
            val squaredDeviation = points.sumOf { (it.size - meanSize) * (it.size - meanSize) }
            val slope = points.sumOf { (it.size - meanSize) * (it.cost - meanCost) } / squaredDeviation
            return Slope(slope, meanCost - slope * meanSize)
        }
    }
}
