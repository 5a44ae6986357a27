package org.heatherwind.core.placement

import org.heatherwind.core.identity.DataCentreId
import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.identity.TargetId
import org.heatherwind.core.target.TargetEntry

/** A target that reads prompts one after the other, at [speed] times the usual speed. */
class ToyTarget(val speed: Double) {
    private var freeAt = 0.0
    private val ends = ArrayList<Double>()

    /** Time that the target was at work. */
    var busyMilliseconds = 0.0
        private set

    /** Takes a request at [now] whose prompt is read in [prefillMilliseconds] at usual speed; returns when it is. */
    fun read(prefillMilliseconds: Double, now: Long): Double {
        val duration = prefillMilliseconds / speed
        freeAt = maxOf(freeAt, now.toDouble()) + duration
        busyMilliseconds += duration
        ends += freeAt
        return freeAt
    }

    /** Returns the requests at the target at [now]. */
    fun running(now: Long): Int = ends.count { it > now }

    companion object {
        /** Returns a router's view of [count] targets, in the data centres `z0`, `z1` ... by turns. */
        fun loads(count: Int, slots: Int = 16, dataCentres: Int = 1): List<TargetLoad> = List(count) { number ->
            TargetLoad(
                TargetEntry(
                    id = TargetId("t$number"),
                    service = ServiceId("pool"),
                    host = "10.0.0.$number",
                    port = 1,
                    dataCentre = DataCentreId("z${number % dataCentres}"),
                    version = "v1",
                    slots = slots,
                    isDraining = false,
                ),
            )
        }
    }
}
