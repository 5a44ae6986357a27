package org.heatherwind.core.placement

import kotlinx.collections.immutable.persistentListOf
import org.heatherwind.core.fleet.EngineProfile
import org.heatherwind.core.identity.DataCentreId
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.work.PromptPart
import org.heatherwind.core.work.TokenDemand
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random
import kotlin.test.assertEquals

/** Given targets in two data centres, then a request stays in the router's own where that costs it nothing. */
class DataCentreChoiceTest {
    private class Case(
        val name: String,
        val tokens: TokenDemand?,
        val home: String?,
        val chosen: Set<String>,
        val prepare: (List<TargetLoad>) -> Unit = {},
    )

    private val prompt = TokenDemand(prompt = 2_000, maximumOutput = 300)
    private val shared = persistentListOf(PromptPart("shared", 5_400), PromptPart("own", 600))
    private val now = MonotonicTime(0)

    private val cases = listOf(
        Case("a prompt", prompt, "z1", setOf("z1")),
        Case("a prompt of a router that knows no data centre", prompt, null, setOf("z0")),
        Case("a prompt where no target is in the router's", prompt, "z9", setOf("z0")),
        Case("a prompt, the own data centre is hot", prompt, "z1", setOf("z0")) { loads ->
            inDataCentre(loads, "z1").forEach { it.recordSent(prompt, 100.0, 100.0, now) }
        },
        Case("a plain call", null, "z1", setOf("z1")),
        Case("a plain call of a router that knows no data centre", null, null, setOf("z0")),
        Case("a plain call, the own data centre is hot", null, "z1", setOf("z0")) { loads ->
            inDataCentre(loads, "z1").forEach { it.recordLoadReport(running = 16, waiting = 0, now = now) }
        },
    )

    @TestFactory
    fun `the own data centre comes first where equally good`(): List<DynamicTest> = cases.map { case ->
        DynamicTest.dynamicTest(case.name) {
            val loads = ToyTarget.loads(6, dataCentres = 2)
            case.prepare(loads)
            assertEquals(case.chosen, setOf(choose(loads, case.tokens, case.home)))
        }
    }

    // Guards against each data centre reading the long shared parts for itself.
    @TestFactory
    fun `shared parts are read at one target for all data centres`(): List<DynamicTest> = (1..20).map { number ->
        DynamicTest.dynamicTest("part $number") {
            val parts = persistentListOf(shared.first().copy(key = "part-$number"), shared.last())
            val tokens = TokenDemand(prompt = 6_000, maximumOutput = 300, parts)
            val loads = ToyTarget.loads(6, dataCentres = 2)
            assertEquals(choose(loads, tokens, "z0"), choose(loads, tokens, "z1"))
        }
    }

    // Guards against reluctance and crossing costing more than a short shared part, so that many targets read it.
    @TestFactory
    fun `a short shared part is read at one target of many, by routers of all data centres`(): List<DynamicTest> =
        listOf(198L, 100L, 40L).map { length ->
            DynamicTest.dynamicTest("$length of 826 tokens") {
                val random = Random(SEED)
                val parts = persistentListOf(PromptPart("short", length), PromptPart("own", 826 - length))
                val targets = List(200) { router ->
                    val loads = ToyTarget.loads(97, dataCentres = 4, reluctance = random::nextDouble)
                    val aims = PlacementAims(dataCentre = DataCentreId("z${router % 4}"))
                    val tokens = TokenDemand(826, 300, parts)
                    PlacementPolicy.choose(loads, engine, tokens, emptySet(), 99, now, aims = aims)?.target?.entry?.id
                }
                assertEquals(1, targets.toSet().size, "seed $SEED: ${targets.groupingBy { it }.eachCount()}")
            }
        }

    private fun choose(loads: List<TargetLoad>, tokens: TokenDemand?, home: String?): String? {
        val aims = PlacementAims(dataCentre = home?.let { DataCentreId(it) })
        return PlacementPolicy.choose(loads, engine, tokens, emptySet(), connectionsPerTarget = 99, now, aims = aims)
            ?.target?.entry?.dataCentre?.value
    }

    private fun inDataCentre(loads: List<TargetLoad>, name: String) =
        loads.filter { it.entry.dataCentre == DataCentreId(name) }

    private companion object {
        const val SEED = 38
        val engine = EngineProfile(slots = 16, cacheCapacityTokens = 392_254, tokensPerEvent = 11)
    }
}
