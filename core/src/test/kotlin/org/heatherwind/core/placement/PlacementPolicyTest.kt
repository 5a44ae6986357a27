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

/** Given targets under the load patterns of heavy days, when a request comes, then it goes where it waits least. */
class PlacementPolicyTest {
    private class Case(val name: String, val trouble: (TargetLoad) -> Unit)

    private val troubles = listOf(
        Case("long prompts flood it") { load ->
            repeat(20) { load.recordSent(review(100 + it), 300.0, 300.0, MonotonicTime(0)) }
        },
        Case("other routers announced long prompts for it") { load ->
            repeat(3) { load.recordAnnounced(300.0, review(100 + it).parts, MonotonicTime(0)) }
        },
        Case("its connection broke just now") { load -> load.recordConnectionFailure(MonotonicTime(0)) },
        Case("it shed a request just now") { load -> load.recordOverload(MonotonicTime(0)) },
        Case("another target answers at its address") { load -> load.recordReplaced() },
        Case("it is silent on an earlier request") { load ->
            load.recordSent(review(0), 2.0, 5.0, MonotonicTime(-2_000))
        },
        Case("it reports a long queue") { load ->
            load.recordLoadReport(running = 64, waiting = 40, now = MonotonicTime(0))
        },
        Case("its first events come eight times late") { load ->
            repeat(6) {
                val sent = load.recordSent(review(100 + it), 130.0, 130.0, MonotonicTime(-1_040))
                load.recordFirstEvent(sent, MonotonicTime(0))
            }
        },
    )

    @TestFactory
    fun `a request leaves its preferred target in trouble`(): List<DynamicTest> = troubles.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val loads = loads()
            val preferred = choose(loads, review(0))?.target
            case.trouble(checkNotNull(preferred))
            assertNotEquals(preferred.entry.id, choose(loads, review(0))?.target?.entry?.id)
        }
    }

    @Test
    fun `announced prompts are read as time passes`() {
        val load = loads().first()
        load.recordAnnounced(300.0, emptyList(), MonotonicTime(0))
        load.recordAnnounced(200.0, emptyList(), MonotonicTime(100))
        assertEquals(
            listOf(400.0, 150.0, 0.0),
            listOf(100L, 350, 900).map { load.backlogMilliseconds(MonotonicTime(it)) },
        )
    }

    @Test
    fun `a prompt that another router announced is known to be kept`() {
        val load = loads().first()
        load.recordAnnounced(100.0, review(0).parts.dropLast(1), MonotonicTime(0))
        assertEquals(5_400, load.cachedTokens(review(1)))
    }

    @Test
    fun `requests that share a prompt stay together`() {
        val loads = loads()
        val targets = (1..20).map { number ->
            val placement = checkNotNull(choose(loads, review(number)))
            val target = placement.target
            target.recordEnded(target.recordSent(review(number), placement.prefillMilliseconds, 1.0, MonotonicTime(0)))
            target.entry.id
        }
        assertEquals(1, targets.toSet().size)
    }

    @Test
    fun `no target is chosen when all were tried`() {
        val loads = loads()
        val tried = loads.mapTo(HashSet()) { it.entry.id }
        assertNull(PlacementPolicy.choose(loads, engine, review(0), tried, connectionsPerTarget = 9, MonotonicTime(0)))
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

    private fun review(number: Int) = TokenDemand(
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
