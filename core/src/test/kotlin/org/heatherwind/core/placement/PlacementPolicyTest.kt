package org.heatherwind.core.placement

import kotlinx.collections.immutable.persistentListOf
import org.heatherwind.core.fleet.EngineProfile
import org.heatherwind.core.identity.DataCentreId
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.identity.TargetId
import org.heatherwind.core.target.TargetEntry
import org.heatherwind.core.work.PromptPart
import org.heatherwind.core.work.TokenDemand
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertNull

/** Given targets under heavy, uneven load, when a request arrives, then that with the lowest cost is chosen. */
class PlacementPolicyTest {
    private class Case(val name: String, val impair: (TargetLoad) -> Unit)

    private val impairments = listOf(
        Case("many long prompts are in prefill") { load ->
            repeat(20) { load.recordSent(longPrompt(100 + it), 300.0, 300.0, MonotonicTime(0)) }
        },
        Case("other routers announced long prompts") { load ->
            repeat(3) { load.recordAnnounced(300.0, longPrompt(100 + it).parts, MonotonicTime(0)) }
        },
        Case("a connection failed just now") { load -> load.recordConnectionFailure(MonotonicTime(0)) },
        Case("it rejected a request for overload just now") { load -> load.recordOverload(MonotonicTime(0)) },
        Case("another target responds at its address") { load -> load.recordReplaced() },
        Case("the first event of an earlier request is overdue") { load ->
            load.recordSent(longPrompt(0), 2.0, 5.0, MonotonicTime(-2_000))
        },
        Case("it reports a long queue") { load ->
            load.recordLoadReport(running = 64, waiting = 40, now = MonotonicTime(0))
        },
        Case("first events take eight times as long as predicted") { load ->
            repeat(6) {
                val sent = load.recordSent(longPrompt(100 + it), 130.0, 130.0, MonotonicTime(-1_040))
                load.recordFirstEvent(sent, MonotonicTime(0))
            }
        },
    )

    @TestFactory
    fun `a request avoids its preferred target while that is impaired`(): List<DynamicTest> = impairments.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val loads = loads()
            val preferred = choose(loads, longPrompt(0))?.target
            case.impair(checkNotNull(preferred))
            assertNotEquals(preferred.entry.id, choose(loads, longPrompt(0))?.target?.entry?.id)
        }
    }

    @Test
    fun `the backlog of announced prompts shrinks with time`() {
        val load = loads().first()
        load.recordAnnounced(300.0, emptyList(), MonotonicTime(0))
        load.recordAnnounced(200.0, emptyList(), MonotonicTime(100))
        assertEquals(
            listOf(400.0, 150.0, 0.0),
            listOf(100L, 350, 900).map { load.backlogMilliseconds(MonotonicTime(it)) },
        )
    }

    @Test
    fun `the prefix of a prompt that another router announced counts as cached`() {
        val load = loads().first()
        load.recordAnnounced(100.0, longPrompt(0).parts.dropLast(1), MonotonicTime(0))
        assertEquals(5_400, load.cachedTokens(longPrompt(1)))
    }

    @Test
    fun `requests that share a prompt prefix go to the same target`() {
        val loads = loads()
        val targets = (1..20).map { number ->
            val placement = checkNotNull(choose(loads, longPrompt(number)))
            val target = placement.target
            val tokens = longPrompt(number)
            target.recordEnded(target.recordSent(tokens, placement.prefillMilliseconds, 1.0, MonotonicTime(0)))
            target.entry.id
        }
        assertEquals(1, targets.toSet().size)
    }

    @Test
    fun `no target is chosen when all are excluded`() {
        val loads = loads()
        val excluded = loads.mapTo(HashSet()) { it.entry.id }
        assertNull(
            PlacementPolicy.choose(loads, engine, longPrompt(0), excluded, connectionsPerTarget = 9, MonotonicTime(0)),
        )
    }

    private fun choose(loads: List<TargetLoad>, tokens: TokenDemand): Placement? = PlacementPolicy.choose(
        loads,
        engine,
        tokens,
        excluded = emptySet(),
        connectionsPerTarget = 99,
        MonotonicTime(0),
    )

    private fun loads(): List<TargetLoad> = (1..6).map { number ->
        TargetLoad(
            TargetEntry(
                id = TargetId("t$number"),
                service = ServiceId("pool"),
                host = "10.0.0.$number",
                port = 1,
                dataCentre = DataCentreId("z"),
                version = "v1",
                slots = 64,
                isDraining = false,
            ),
        )
    }

    private fun longPrompt(number: Int) = TokenDemand(
        prompt = 12_000,
        maximumOutput = 500,
        parts = persistentListOf(
            PromptPart("system", 500),
            PromptPart("kiln", 4_900),
            PromptPart("own-$number", 6_600),
        ),
    )

    private companion object {
        val engine = EngineProfile(slots = 64, cacheCapacityTokens = 589_482, tokensPerEvent = 7)
    }
}
