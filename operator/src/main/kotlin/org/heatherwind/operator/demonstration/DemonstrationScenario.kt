package org.heatherwind.operator.demonstration

import kotlinx.coroutines.delay
import org.heatherwind.protocol.operations.TopUpMessage
import org.heatherwind.standins.log.LogFaults

/** A failure to inject during a demonstration. */
public sealed interface DemonstrationScenario {
    /** Name on the command line. */
    public val name: String

    /** Injects the failure while requests run, and ends it. */
    public suspend fun run(fleet: LocalFleet, budgets: List<String>)

    /** No failure. */
    public data object Steady : DemonstrationScenario {
        override val name: String = "steady"

        override suspend fun run(fleet: LocalFleet, budgets: List<String>): Unit = Unit
    }

    /** The log service is unavailable for [FAILURE_DURATION_MILLISECONDS]. */
    public data object LogOutage : DemonstrationScenario {
        override val name: String = "log-outage"

        override suspend fun run(fleet: LocalFleet, budgets: List<String>) {
            delay(DELAY_BEFORE_FAILURE_MILLISECONDS)
            fleet.platform.log.faults = LogFaults(isOut = true)
            delay(FAILURE_DURATION_MILLISECONDS)
            fleet.platform.log.faults = LogFaults()
        }
    }

    /** Appends take effect, but their responses are errors, so that their outcome is unknown. */
    public data object LostAppendResponses : DemonstrationScenario {
        override val name: String = "lost-answers"

        override suspend fun run(fleet: LocalFleet, budgets: List<String>) {
            fleet.platform.log.faults = LogFaults(losesResponses = true)
            delay(FAILURE_DURATION_MILLISECONDS)
            fleet.platform.log.faults = LogFaults()
        }
    }

    /** One router is partitioned from the log service while budgets are topped up. */
    public data object Partition : DemonstrationScenario {
        override val name: String = "partition"

        override suspend fun run(fleet: LocalFleet, budgets: List<String>) {
            delay(DELAY_BEFORE_FAILURE_MILLISECONDS)
            val partitioned = fleet.routers.last()
            partitioned.log.isPartitioned = true
            budgets.forEach { fleet.operator().topUp(it, TopUpMessage(TOP_UP_TOKENS, topUpKey = "during-partition")) }
            delay(FAILURE_DURATION_MILLISECONDS)
            partitioned.log.isPartitioned = false
        }
    }

    /** One router is killed while it streams responses. */
    public data object RouterDeath : DemonstrationScenario {
        override val name: String = "router-death"

        override suspend fun run(fleet: LocalFleet, budgets: List<String>) {
            delay(DELAY_BEFORE_FAILURE_MILLISECONDS)
            fleet.kill(fleet.routers.last())
        }
    }

    public companion object {
        private const val DELAY_BEFORE_FAILURE_MILLISECONDS = 500L
        private const val FAILURE_DURATION_MILLISECONDS = 2_000L

        /** Tokens added to each budget during a partition. */
        public const val TOP_UP_TOKENS: Long = 50_000

        /** Every scenario. */
        public val all: List<DemonstrationScenario> =
            listOf(Steady, LogOutage, LostAppendResponses, Partition, RouterDeath)
    }
}
