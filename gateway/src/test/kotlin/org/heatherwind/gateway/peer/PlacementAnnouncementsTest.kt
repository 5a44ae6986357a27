package org.heatherwind.gateway.peer

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
}
