package org.heatherwind.benchmarks

import java.lang.management.ManagementFactory

/** Measures CPU time and heap usage in this process. */
internal object Measurement {
    private const val WARM_UP_RUNS = 3
    private const val RUNS = 5
    private const val NANOSECONDS_PER_MICROSECOND = 1_000.0
    private val threads = ManagementFactory.getThreadMXBean()

    /** Returns the CPU microseconds per operation, as the median of several runs of [work] with [operations] each. */
    fun microsecondsPerOperation(operations: Int, work: () -> Unit): Double {
        repeat(WARM_UP_RUNS) { work() }
        val times = List(RUNS) {
            val before = threads.currentThreadCpuTime
            work()
            threads.currentThreadCpuTime - before
        }
        return times.sorted()[RUNS / 2] / NANOSECONDS_PER_MICROSECOND / operations
    }

    /** Returns the heap bytes retained by the object that [create] returns. */
    fun <T> retainedBytes(create: () -> T): Double {
        create()
        val before = usedBytes()
        val retained = create()
        val after = usedBytes()
        check(retained != null)
        return (after - before).toDouble()
    }

    private fun usedBytes(): Long {
        repeat(WARM_UP_RUNS) { System.gc() }
        val runtime = Runtime.getRuntime()
        return runtime.totalMemory() - runtime.freeMemory()
    }
}
