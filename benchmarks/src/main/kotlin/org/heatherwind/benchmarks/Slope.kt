package org.heatherwind.benchmarks

/** One measured point: [size] of what grows, and the [cost] in the unit that the benchmark names. */
internal data class Point(val size: Double, val cost: Double)

/** A straight line through measured points, by least squares. */
internal data class Slope(val perUnit: Double, val base: Double) {
    /** The cost at [size]. */
    fun at(size: Double): Double = base + perUnit * size

    companion object {
        fun through(points: List<Point>): Slope {
            val meanSize = points.map { it.size }.average()
            val meanCost = points.map { it.cost }.average()
            val spread = points.sumOf { (it.size - meanSize) * (it.size - meanSize) }
            val slope = points.sumOf { (it.size - meanSize) * (it.cost - meanCost) } / spread
            return Slope(slope, meanCost - slope * meanSize)
        }
    }
}
