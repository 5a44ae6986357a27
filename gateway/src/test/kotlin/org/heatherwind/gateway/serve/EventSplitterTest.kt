package org.heatherwind.gateway.serve

import io.netty.buffer.Unpooled
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random
import kotlin.test.Test
import kotlin.test.assertEquals

/** Given a stream of events, when it arrives in chunks of any size, then the same complete events are returned. */
class EventSplitterTest {
    private class Case(
        val name: String,
        val stream: String,
        val events: List<Pair<String, Long?>>,
        val remainder: String = "",
    )

    private val cases = listOf(
        Case("an empty stream", "", emptyList()),
        Case("one event", "id: 1\ndata: a\n\n", listOf("id: 1\ndata: a\n\n" to 1L)),
        Case("no ID", "data: a\n\n", listOf("data: a\n\n" to null)),
        Case("CRLF line endings", "id:7\r\ndata: a\r\n\r\n", listOf("id:7\r\ndata: a\r\n\r\n" to 7L)),
        Case(
            "a field before the ID",
            "weight-versions: 2\nid: 3\ndata: a\n\n",
            listOf("weight-versions: 2\nid: 3\ndata: a\n\n" to 3L),
        ),
        Case(
            "partial event",
            "id: 1\ndata: a\n\nid: 2\nda",
            listOf("id: 1\ndata: a\n\n" to 1L),
            remainder = "id: 2\nda",
        ),
        // The following guard against bytes that are no event and are forwarded and charged as one.
        Case("line feeds alone", "\n\n\n", emptyList(), remainder = "\n\n\n"),
        Case("CRLF alone", "\r\n\r\n", emptyList(), remainder = "\r\n\r\n"),
        Case("a comment", ": ping\n\n", emptyList(), remainder = ": ping\n\n"),
        Case("fields without data", "id: 4\nevent: x\n\n", emptyList(), remainder = "id: 4\nevent: x\n\n"),
        Case("a field whose name begins with data", "data2: a\n\n", emptyList(), remainder = "data2: a\n\n"),
        Case("data without a value", "data\n\n", listOf("data\n\n" to null)),
        Case(
            "line feeds and a comment before an event",
            "\n\n: ping\n\nid: 1\ndata: a\n\n",
            listOf("\n\n: ping\n\nid: 1\ndata: a\n\n" to 1L),
        ),
        Case("an ID that is not a number", "id: x\ndata: a\n\n", listOf("id: x\ndata: a\n\n" to null)),
    )

    // Guards against an event loop that is blocked because each part of a line scans the line from its start.
    @Test
    fun `given a line in many parts when it is fed then each byte is scanned once`() {
        val splitter = EventSplitter()
        val part = Unpooled.copiedBuffer("x", Charsets.UTF_8)
        repeat(PARTS) { splitter.feed(part.duplicate()) }
        assertEquals(PARTS.toLong(), splitter.scannedBytes)
    }

    private companion object {
        const val PARTS = 20_000
    }

    @TestFactory
    fun `complete events are returned`(): List<DynamicTest> = cases.flatMap { case ->
        (1..20).map { seed ->
            DynamicTest.dynamicTest("${case.name}, seed $seed") {
                val random = Random(seed)
                val splitter = EventSplitter()
                val events = mutableListOf<Pair<String, Long?>>()
                var remaining = case.stream
                while (remaining.isNotEmpty()) {
                    val size = random.nextInt(1, remaining.length + 1)
                    splitter.feed(Unpooled.copiedBuffer(remaining.take(size), Charsets.UTF_8))
                        .forEach { events += it.bytes.toString(Charsets.UTF_8) to it.id }
                    remaining = remaining.drop(size)
                }
                assertEquals(case.events, events)
                assertEquals(case.remainder, splitter.remainder().toString(Charsets.UTF_8))
            }
        }
    }
}
