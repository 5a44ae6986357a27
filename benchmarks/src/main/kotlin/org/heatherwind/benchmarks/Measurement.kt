package org.heatherwind.benchmarks

import java.lang.management.ManagementFactory

/** Measures processor time and memory in this process. */
internal object Measurement {
    private const val WARM_UPS = 3
    private const val RUNS = 5
    private const val NANOSECONDS_PER_MICROSECOND = 1_000.0
    private val threads = ManagementFactory.getThreadMXBean()

    /** Processor time of one of [operations] done by [work], in microseconds: the median of several runs. */
    fun microsecondsEach(operations: Int, work: () -> Unit): Double {
        repeat(WARM_UPS) { work() }
        val times = List(RUNS) {
            val before = threads.currentThreadCpuTime
            work()
            threads.currentThreadCpuTime - before
        }
        return times.sorted()[RUNS / 2] / NANOSECONDS_PER_MICROSECOND / operations
    }

    /** Bytes that [create] leaves reachable. */
    fun <T> bytesHeld(create: () -> T): Double {
        create()
        val before = usedBytes()
        val held = create()
        val after = usedBytes()
        check(held != null)
        return (after - before).toDouble()
    }

    private fun usedBytes(): Long {
        repeat(WARM_UPS) { System.gc() }
        val runtime = Runtime.getRuntime()
        return runtime.totalMemory() - runtime.freeMemory()
    }
}
