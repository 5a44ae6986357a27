package org.heatherwind.gateway.rollout

import org.heatherwind.core.identity.DataCentreId
import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.MonotonicClock
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.identity.TargetId
import org.heatherwind.core.identity.Timestamp
import org.heatherwind.core.placement.TargetLoad
import org.heatherwind.core.rollout.RolloutPolicy
import org.heatherwind.core.target.TargetEntry
import org.heatherwind.gateway.state.EvacuationSubscriber
import org.heatherwind.gateway.state.FleetState
import org.heatherwind.gateway.state.KeyedLogStandIn
import org.heatherwind.gateway.store.KeyedRecord
import org.heatherwind.gateway.telemetry.DecisionLog
import org.heatherwind.gateway.telemetry.GatewayMetrics
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random
import kotlin.test.assertEquals

/** Given targets of two versions in two data centres, when records are read, then they change only what they order. */
class EvacuatedVersionsTest {
    /** The records as `key=value`, without a value for a removal, and the targets to which any request may be sent. */
    private class Case(
        val name: String,
        val records: List<String>,
        val expected: Set<String>,
        val introduced: Set<String> = emptySet(),
    )

    private val cases = listOf(
        Case("none", emptyList(), setOf("old-a", "old-b")),
        Case("an evacuation", listOf("empty/a=now"), setOf("old-b")),
        Case("an evacuation of all targets of the old version", listOf("empty/a=now", "empty/b=now"), emptySet()),
        Case("an evacuation that is taken back", listOf("empty/a=now", "empty/b=now", "empty/a="), setOf("old-a")),
        Case("an evacuation of an unknown data centre", listOf("empty/x=now"), setOf("old-a", "old-b")),
        Case("an evacuation without a name", listOf("empty/=now"), setOf("old-a", "old-b")),
        Case("an evacuation that can't be read", listOf("empty/a=soon"), setOf("old-a", "old-b")),
        Case("one that can't be read after a valid one", listOf("empty/a=now", "empty/a=soon"), setOf("old-b")),
        Case("an order for the new version", listOf(ORDER), setOf("old-a", "old-b"), setOf("new-c")),
        Case("an evacuation beside it", listOf(ORDER, "empty/c=now"), setOf("old-a", "old-b"), setOf("new-b")),
        Case("one of the old version", listOf("empty/a=now", "empty/b=now", ORDER), emptySet(), setOf("new-c")),
    )

    // Guards against a new version that is taken for the established one while the latter is evacuated.
    @TestFactory
    fun `given records then requests go to the available targets of admitted versions`(): List<DynamicTest> =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                val state = FleetState()
                val rollouts = StillRollouts.of(state)
                list(state, "old-a", "old-b")
                rollouts.targetsOf(SERVICE)
                list(state, "old-a", "old-b", "new-b", "new-c")
                rollouts.targetsOf(SERVICE)
                val evacuations = EvacuationSubscriber(state, TextDocuments, StillRollouts.clock, StillRollouts.log)
                case.records.map { record(it, case.records.indexOf(it)) }.forEach {
                    evacuations.onRecords(listOf(it))
                    rollouts.orders.onRecords(listOf(it))
                    rollouts.targetsOf(SERVICE)
                }
                assertEquals(case.expected, namesOf(rollouts.targetsOf(SERVICE)))
                assertEquals(case.introduced, namesOf(rollouts.introducedTargetsOf(SERVICE)))
            }
        }

    private fun namesOf(targets: List<TargetLoad>): Set<String> = targets.mapTo(HashSet()) { it.entry.id.value }

    private fun record(text: String, offset: Int) = KeyedRecord(
        offset = offset.toLong(),
        key = text.substringBefore('='),
        value = text.substringAfter('=').takeIf { it.isNotEmpty() }?.encodeToByteArray(),
    )

    private fun list(state: FleetState, vararg names: String) =
        state.adoptDirectory(state.directory.withEntries(names.map { entryOf(it) }, MonotonicTime(0)))

    private companion object {
        const val ORDER = "rollout/pool=new 100000"
        val SERVICE = ServiceId("pool")

        fun entryOf(name: String) = TargetEntry(
            id = TargetId(name),
            service = SERVICE,
            host = "10.0.0.1",
            port = 80,
            dataCentre = DataCentreId(name.substringAfter('-')),
            version = name.substringBefore('-'),
            slots = 8,
            isDraining = false,
        )
    }
}
