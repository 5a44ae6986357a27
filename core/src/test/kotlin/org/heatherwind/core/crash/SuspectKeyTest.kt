package org.heatherwind.core.crash

import org.heatherwind.core.identity.CustomerId
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import kotlin.test.Test
import kotlin.test.assertEquals
import kotlin.test.assertNotEquals
import kotlin.test.assertNull

/** Given parts and requests, when their keys are computed, then only equal ones have equal keys. */
class SuspectKeyTest {
    private val request = SuspectKey.ofRequest(studio, "POST", "/chat/1", "prompt".encodeToByteArray())

    private val different = listOf(
        "another customer" to SuspectKey.ofRequest(null, "POST", "/chat/1", "prompt".encodeToByteArray()),
        "another method" to SuspectKey.ofRequest(studio, "PUT", "/chat/1", "prompt".encodeToByteArray()),
        "another path" to SuspectKey.ofRequest(studio, "POST", "/chat/2", "prompt".encodeToByteArray()),
        "another body" to SuspectKey.ofRequest(studio, "POST", "/chat/1", "prompts".encodeToByteArray()),
        "a long body" to SuspectKey.ofRequest(studio, "POST", "/chat/1", ByteArray(100_000)),
        "a longer body" to SuspectKey.ofRequest(studio, "POST", "/chat/1", ByteArray(100_001)),
        "a part" to SuspectKey.ofPart("/chat/1"),
    )

    private val malformed =
        listOf("", "part-", "part-12", "part-0123456789abcdeg", "key-0123456789abcdef", "x".repeat(99))

    @TestFactory
    fun `different contents have different keys`(): List<DynamicTest> = different.map { (name, key) ->
        DynamicTest.dynamicTest(name) {
            assertNotEquals(request, key)
            assertEquals(1, different.count { it.second == key })
            assertEquals(key, SuspectKey.parse(key.value))
        }
    }

    @Test
    fun `equal contents have equal keys`() {
        assertEquals(request, SuspectKey.ofRequest(studio, "POST", "/chat/1", "prompt".encodeToByteArray()))
        assertEquals(SuspectKey.ofPart("aa"), SuspectKey.ofPart("aa"))
    }

    @TestFactory
    fun `a malformed key is rejected`(): List<DynamicTest> = malformed.map { text ->
        DynamicTest.dynamicTest("'$text'") { assertNull(SuspectKey.parse(text)) }
    }

    private companion object {
        val studio = CustomerId("studio")
    }
}
