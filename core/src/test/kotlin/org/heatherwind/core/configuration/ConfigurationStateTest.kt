package org.heatherwind.core.configuration

import org.heatherwind.core.identity.ServiceId
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertIs
import kotlin.test.assertTrue

/**
 * Tests the validation of configurations. Also tests that concurrent changes by operators, applied from the log and
 * copied between routers in any order, never make a router return to an earlier version or give two routers different
 * contents under the same version.
 */
class ConfigurationStateTest {
    private class Case(val name: String, val configuration: FleetConfiguration, val paths: List<String>)

    private val unknownService =
        ServiceOverride(ServiceId("none"), SettingsOverride(), reason = " ", expiresAt = 0)

    private val cases = listOf(
        Case("the default configuration", FleetConfiguration(), emptyList()),
        Case(
            "settings out of range",
            FleetConfiguration(defaults = ServiceSettings(requestDeadlineSeconds = 0, maximumAnswerTokens = -1)),
            listOf("defaults.requestDeadlineSeconds", "defaults.maximumAnswerTokens"),
        ),
        Case(
            "an exception without reason for an unknown service",
            FleetConfiguration(exceptions = listOf(unknownService)),
            listOf("exceptions[0].reason", "exceptions[0].service"),
        ),
        Case(
            "two engine services with the same name and without models",
            FleetConfiguration(services = List(2) { EngineService(ServiceId("a"), emptyList(), emptyList()) }),
            listOf("services", "services[0].models", "services[1].models"),
        ),
    )

    @TestFactory
    fun `given a configuration, when it is validated, then each violation has its path`(): List<DynamicTest> =
        cases.map { case ->
            DynamicTest.dynamicTest(case.name) {
                assertEquals(case.paths, ConfigurationRules.problemsOf(case.configuration).map { it.path })
            }
        }

    @Test
    fun `given two changes from one base, when both are published, then the second result has the first version`() {
        val first = ConfigurationState().publish(change("anna", base = 0)).state
        val result = assertIs<PublicationResult.Outdated>(first.publish(change("bruno", base = 0)).result)
        assertEquals("anna", result.winner.publisher)
    }

    @Test
    fun `given changes, repeats and copies in random order, when applied, then versions never decrease or diverge`() {
        repeat(3_000) { seed ->
            val random = Random(seed)
            val log = publishedChanges(random)
            val states = MutableList(4) { ConfigurationState() }
            val offsets = IntArray(4)
            repeat(80) {
                val index = random.nextInt(4)
                val before = states[index].current.version
                states[index] = step(states, offsets, index, log, random)
                assertTrue(states[index].current.version >= before, "seed $seed")
            }
            val versions = states.groupBy { it.current.version }.values
            versions.forEach { same -> assertEquals(1, same.map { it.current }.distinct().size, "seed $seed") }
        }
    }

    private fun step(
        states: List<ConfigurationState>,
        offsets: IntArray,
        index: Int,
        log: List<ConfigurationPublished>,
        random: Random,
    ): ConfigurationState = when {
        random.nextInt(3) == 0 -> states[index].adopt(states.random(random).current)

        random.nextInt(10) == 0 -> {
            offsets[index] = 0
            states[index]
        }

        offsets[index] < log.size -> states[index].publish(log[offsets[index]++]).state

        else -> states[index]
    }

    private fun publishedChanges(random: Random): List<ConfigurationPublished> {
        var state = ConfigurationState()
        return List(20) { index ->
            val base = (state.current.version - random.nextInt(2)).coerceAtLeast(0)
            change("operator-$index", base).also { state = state.publish(it).state }
        }
    }

    private fun change(publisher: String, base: Long) =
        ConfigurationPublished(base, publisher, changeKey = "$publisher-$base", configuration = FleetConfiguration())
}
