package org.heatherwind.gateway.peer

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import org.heatherwind.core.identity.DataCentreId
import org.heatherwind.core.identity.MonotonicTime
import org.heatherwind.core.identity.ServiceId
import org.heatherwind.core.identity.TargetId
import org.heatherwind.core.placement.PaceCause
import org.heatherwind.core.placement.Placement
import org.heatherwind.core.placement.TargetLoad
import org.heatherwind.core.target.TargetEntry
import org.heatherwind.core.work.TokenDemand
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.assertEquals

/** Long prompts in fleets of different sizes: how many routers hear of each. */
internal class PlacementAnnouncementsTest {
    private class Case(val peers: Int, val receivers: Int)

    @TestFactory
    fun `the receivers of an announcement`(): List<DynamicTest> = listOf(
        Case(peers = 0, receivers = 0),
        Case(peers = 8, receivers = 8),
        Case(peers = 24, receivers = 24),
        Case(peers = 48, receivers = 12),
        Case(peers = 82, receivers = 7),
        Case(peers = 360, receivers = 6),
    ).map { case ->
        dynamicTest("given ${case.peers} other routers, then ${case.receivers} hear of a long prompt") {
            assertEquals(case.receivers, PlacementAnnouncements.receiverCount(case.peers))
        }
    }

    private class Statement(
        val name: String,
        val stated: Long?,
        val isSpeedStated: Boolean = true,
        val change: TargetLoad.() -> Unit,
    )

    // Guards against datagrams that routers of the version before drop during a rolling update.
    @TestFactory
    fun `a statement of speed has a form that the version before ignores`(): List<DynamicTest> = listOf(
        Statement("nothing learned", stated = null) {},
        Statement("a slow target", stated = 300) { learn() },
        Statement("a slow target that does not state its speed", stated = null, isSpeedStated = false) { learn() },
        Statement("a slow target that is cold", stated = null) {
            learn()
            coldUntil = MonotonicTime(900)
        },
        Statement("a slow target that has just returned", stated = null) {
            learn()
            pace.begin(PaceCause.ADDED, NOW)
        },
    ).map { case ->
        dynamicTest(case.name) {
            val load = TargetLoad(entry)
            if (case.isSpeedStated) load.speed.recordReport(1.0, NOW)
            load.apply(case.change)
            val placement = Placement(load, 6_000, prefillMilliseconds = 70.0, expectedMilliseconds = 70.0)
            val texts = PlacementAnnouncements.encode(placement, TokenDemand(prompt = 6_000, maximumOutput = 300), NOW)
            texts.forEach { assertEquals(OLD_FIELDS, Json.parseToJsonElement(it).jsonObject.keys) }
            val announcements = texts.map { Json.decodeFromString(PlacementAnnouncement.serializer(), it) }
            assertEquals(listOf("a"), announcements.map { it.target }.filter { it == entry.id.value })
            val statements = announcements.mapNotNull { SpeedStatement.from(it) }
            assertEquals(listOfNotNull(case.stated).map { SpeedStatement(entry.id, it) }, statements)
            assertEquals(1 + statements.size, announcements.size)
        }
    }

    private fun TargetLoad.learn() = repeat(10) { learnedSlowness.observe(200.0, 680.0, NOW) }

    private companion object {
        val NOW = MonotonicTime(100)
        val OLD_FIELDS = setOf("target", "readingMilliseconds", "parts")
        val entry = TargetEntry(
            id = TargetId("a"),
            service = ServiceId("service"),
            host = "10.0.0.1",
            port = 1,
            dataCentre = DataCentreId("a"),
            version = "v1",
            slots = 4,
            isDraining = false,
        )
    }
}
