package org.heatherwind.standins.targets

import com.google.common.hash.Hashing
import kotlin.text.Charsets.UTF_8

/** Response text of the engine stand-in, derived from the prompt so that a caller can verify every byte. */
public object EngineResponse {
    private const val BYTES_PER_TOKEN = 4
    private const val MINIMUM_LENGTH_TOKENS = 3
    private const val LENGTH_RANGE_TOKENS = 40

    /** Returns the chunks of [model]'s response to [prompt], one per token and at most [maximumTokens]. */
    public fun chunks(model: String, prompt: String, maximumTokens: Int): List<String> {
        val seed = Hashing.murmur3_32_fixed().hashString("$model $prompt", UTF_8).asInt().toUInt()
        val length = minOf(maximumTokens, MINIMUM_LENGTH_TOKENS + (seed % LENGTH_RANGE_TOKENS.toUInt()).toInt())
        return List(length) { index -> "${(seed + index.toUInt() * 2_654_435_761u).toString(radix = 36)} " }
    }

    /** Returns the number of tokens that the engine counts for [prompt]. */
    public fun promptTokens(prompt: String): Int =
        (prompt.encodeToByteArray().size + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN
}
