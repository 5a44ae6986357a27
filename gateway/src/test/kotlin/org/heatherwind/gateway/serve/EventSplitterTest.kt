package org.heatherwind.gateway.serve

import io.netty.buffer.Unpooled
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random
import kotlin.test.assertEquals

/** Given a stream of events, when it comes in pieces of any size, then the same whole events come out. */
class EventSplitterTest {
    private class Case(
        val name: String,
        val stream: String,
        val events: List<Pair<String, Long?>>,
        val rest: String = "",
    )

    private val cases = listOf(
        Case("nothing", "", emptyList()),
        Case("one event", "id: 1\ndata: a\n\n", listOf("id: 1\ndata: a\n\n" to 1L)),
        Case("no number", "data: a\n\n", listOf("data: a\n\n" to null)),
        Case("line ends with carriage returns", "id:7\r\ndata: a\r\n\r\n", listOf("id:7\r\ndata: a\r\n\r\n" to 7L)),
        Case(
            "a field before the number",
            "weight-versions: 2\nid: 3\ndata: a\n\n",
            listOf("weight-versions: 2\nid: 3\ndata: a\n\n" to 3L),
        ),
        Case("half an event", "id: 1\ndata: a\n\nid: 2\nda", listOf("id: 1\ndata: a\n\n" to 1L), rest = "id: 2\nda"),
        Case("a number that is none", "id: x\ndata: a\n\n", listOf("id: x\ndata: a\n\n" to null)),
    )

    @TestFactory
    fun `whole events come out`(): List<DynamicTest> = cases.flatMap { case ->
        (1..20).map { seed ->
            DynamicTest.dynamicTest("${case.name}, seed $seed") {
                val random = Random(seed)
                val splitter = EventSplitter()
                val events = mutableListOf<Pair<String, Long?>>()
                var left = case.stream
                while (left.isNotEmpty()) {
                    val size = random.nextInt(1, left.length + 1)
                    splitter.feed(Unpooled.copiedBuffer(left.take(size), Charsets.UTF_8))
                        .forEach { events += it.bytes.toString(Charsets.UTF_8) to it.id }
                    left = left.drop(size)
                }
                assertEquals(case.events, events)
                assertEquals(case.rest, splitter.rest().toString(Charsets.UTF_8))
            }
        }
    }
}
