package org.heatherwind.operator.demonstration

import kotlinx.coroutines.delay
import org.heatherwind.protocol.operations.TopUpMessage
import org.heatherwind.standins.log.LogFaults

/** What goes wrong during a demonstration. */
public sealed interface DemonstrationScenario {
    /** Its name on the command line. */
    public val name: String

    /** Brings the failure about while requests run, and ends it. */
    public suspend fun run(fleet: LocalFleet, budgets: List<String>)

    /** Nothing goes wrong. */
    public data object Steady : DemonstrationScenario {
        override val name: String = "steady"

        override suspend fun run(fleet: LocalFleet, budgets: List<String>): Unit = Unit
    }

    /** The log service is out for a while. */
    public data object LogOutage : DemonstrationScenario {
        override val name: String = "log-outage"

        override suspend fun run(fleet: LocalFleet, budgets: List<String>) {
            delay(BEFORE_MILLISECONDS)
            fleet.platform.log.faults = LogFaults(isOut = true)
            delay(DURING_MILLISECONDS)
            fleet.platform.log.faults = LogFaults()
        }
    }

    /** Appends take effect while their answers are lost. */
    public data object LostAnswers : DemonstrationScenario {
        override val name: String = "lost-answers"

        override suspend fun run(fleet: LocalFleet, budgets: List<String>) {
            fleet.platform.log.faults = LogFaults(losesAnswers = true)
            delay(DURING_MILLISECONDS)
            fleet.platform.log.faults = LogFaults()
        }
    }

    /** One router is cut off from the log while budgets are topped up. */
    public data object Partition : DemonstrationScenario {
        override val name: String = "partition"

        override suspend fun run(fleet: LocalFleet, budgets: List<String>) {
            delay(BEFORE_MILLISECONDS)
            val cut = fleet.routers.last()
            cut.log.isCut = true
            budgets.forEach { fleet.operator().topUp(it, TopUpMessage(TOP_UP_TOKENS, topUpKey = "during-partition")) }
            delay(DURING_MILLISECONDS)
            cut.log.isCut = false
        }
    }

    /** One router dies with streams open. */
    public data object RouterDeath : DemonstrationScenario {
        override val name: String = "router-death"

        override suspend fun run(fleet: LocalFleet, budgets: List<String>) {
            delay(BEFORE_MILLISECONDS)
            fleet.kill(fleet.routers.last())
        }
    }

    public companion object {
        private const val BEFORE_MILLISECONDS = 500L
        private const val DURING_MILLISECONDS = 2_000L

        /** Tokens added to each budget during a partition. */
        public const val TOP_UP_TOKENS: Long = 50_000

        /** Every scenario. */
        public val all: List<DemonstrationScenario> = listOf(Steady, LogOutage, LostAnswers, Partition, RouterDeath)
    }
}
