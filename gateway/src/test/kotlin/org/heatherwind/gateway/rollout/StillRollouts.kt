package org.heatherwind.gateway.rollout

import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.Timestamp
import org.heatherwind.core.rollout.RolloutPolicy
import org.heatherwind.gateway.state.FleetState
import org.heatherwind.gateway.state.KeyedLogStandIn
import org.heatherwind.gateway.telemetry.DecisionLog
import org.heatherwind.gateway.telemetry.GatewayMetrics
import kotlin.random.Random

/** Roll-outs of one router whose clock stands still, so that the limit on log lines holds for a whole test. */
internal object StillRollouts {
    private val metrics = GatewayMetrics()
    val clock: MonotonicClock = MonotonicClock { MonotonicTime(0) }
    val log: DecisionLog = DecisionLog(clock, metrics)

    fun of(state: FleetState): RolloutManager = RolloutManager(
        self = Incarnation("r-1"),
        store = KeyedLogStandIn(Random(0)),
        documents = TextDocuments,
        state = state,
        policy = RolloutPolicy(exposureLimit = 0.1),
        clock = clock,
        wallClock = { Timestamp(0) },
        log = log,
        metrics = metrics,
    )
}
