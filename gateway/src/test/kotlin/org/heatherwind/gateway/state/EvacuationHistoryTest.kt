package org.heatherwind.gateway.state

import kotlinx.coroutines.runBlocking
import org.heatherwind.core.identity.DataCentreId
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.identity.TargetId
import org.heatherwind.core.identity.Timestamp
import org.heatherwind.core.rollout.RolloutPolicy
import org.heatherwind.core.target.TargetEntry
import org.heatherwind.gateway.rollout.RolloutManager
import org.heatherwind.gateway.rollout.StillRollouts
import org.heatherwind.gateway.rollout.TextDocuments
import org.heatherwind.gateway.store.KeyedRecord
import org.heatherwind.gateway.telemetry.DecisionLog
import org.heatherwind.gateway.telemetry.GatewayMetrics
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random
import kotlin.test.assertEquals

/**
 * Given drawn histories of orders to evacuate data centres, removals, other records, expired records, outages of the
 * store, targets that move, and restarts, then a request goes to a data centre exactly if no order for it is stored.
 */
class EvacuationHistoryTest {
    /** What the router makes of the records, and whether it then breaks a rule. */
    private class Case(
        val name: String,
        val breaksRule: Boolean,
        val read: (StreamSubscriber) -> StreamSubscriber = { it },
    )

    private val cases = listOf(
        Case("all records", breaksRule = false),
        Case("the newest records as additional ones", breaksRule = true) { subscriber ->
            object : StreamSubscriber by subscriber {
                override fun onSnapshot(records: List<KeyedRecord>) = subscriber.onRecords(records)
            }
        },
        Case("without removals", breaksRule = true) { subscriber ->
            object : StreamSubscriber by subscriber {
                override fun onRecords(records: List<KeyedRecord>) =
                    subscriber.onRecords(records.filter { it.value != null })
            }
        },
        Case("without the first records", breaksRule = true) { subscriber ->
            object : StreamSubscriber by subscriber {
                override fun onSnapshot(records: List<KeyedRecord>) = subscriber.onSnapshot(emptyList())
            }
        },
    )

    // Guards against requests to an evacuated data centre, and against one that stays out of use.
    @TestFactory
    fun `given drawn histories then a router that reads all records breaks no rule`(): List<DynamicTest> =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val broken = (1..HISTORIES).filter { History(it, case.read).run() > 0 }
                assertEquals(case.breaksRule, broken.isNotEmpty(), "seeds ${broken.take(SEEDS_NAMED)}")
            }
        }

    private class History(seed: Int, private val read: (StreamSubscriber) -> StreamSubscriber) {
        private val random = Random(seed)
        private val store = KeyedLogStandIn(random)
        private lateinit var state: FleetState
        private lateinit var rollouts: RolloutManager
        private lateinit var follower: StreamFollower
        private var ordered = emptySet<String>()
        private var violations = 0

        fun run(): Int {
            restart()
            repeat(STEPS) { step() }
            return violations
        }

        private fun step() {
            val order = "empty/${dataCentres.random(random)}"
            when (random.nextInt(STEP_KINDS)) {
                0, 1, 2 -> store.put(order, "now")
                3, 4 -> store.put(order, null)
                5 -> store.put("rollout/pool", "v${1 + random.nextInt(3)} 100000")
                6 -> store.put("plan", "x")
                7 -> store.expireHistory()
                8 -> store.isReachable = !store.isReachable
                9 -> restart()
                10 -> moveTargets()
                else -> poll()
            }
            check()
        }

        private fun poll() {
            runBlocking { follower.poll() }
            if (store.isReachable && store.isReadToEnd) ordered = store.keys("empty/")
        }

        private fun restart() {
            state = FleetState()
            rollouts = StillRollouts.of(state)
            val clock = StillRollouts.clock
            val log = StillRollouts.log
            val evacuations = EvacuationSubscriber(state, TextDocuments, clock, log)
            val policy = PollingPolicy(waitMilliseconds = 0, pauseMilliseconds = 0, isSkippingReplaced = true)
            val subscriber = read(CombinedSubscriber(listOf(evacuations, rollouts.orders)))
            follower = StreamFollower(store, TextDocuments.planPartition, { policy }, clock, log, subscriber)
            moveTargets()
            store.isReachable = true
            poll()
        }

        private fun moveTargets() {
            val entries = (1..TARGETS).filter { random.nextInt(TARGETS) > 0 }.map { entryOf(it) }
            state.adoptDirectory(state.directory.withEntries(entries, MonotonicTime(0)))
        }

        private fun entryOf(number: Int) = TargetEntry(
            id = TargetId("t$number"),
            service = SERVICE,
            host = "10.0.0.$number",
            port = 80,
            dataCentre = DataCentreId(dataCentres.random(random)),
            version = "v${1 + random.nextInt(2)}",
            slots = 8,
            isDraining = false,
        )

        private fun check() {
            val expected = state.directory.entries.values.filter { it.dataCentre.value !in ordered }
                .mapTo(HashSet()) { it.id }
            val chosen = rollouts.targetsOf(SERVICE) + rollouts.introducedTargetsOf(SERVICE)
            val isBroken = chosen.any { it.entry.id !in expected } ||
                state.candidatesOf(SERVICE).mapTo(HashSet()) { it.entry.id } != expected
            if (isBroken) violations++
        }
    }

    private companion object {
        const val HISTORIES = 10_000
        const val SEEDS_NAMED = 5
        const val STEPS = 40
        const val STEP_KINDS = 18
        const val TARGETS = 6
        val SERVICE = ServiceId("pool")
        val dataCentres = listOf("a", "b", "c")
    }
}
