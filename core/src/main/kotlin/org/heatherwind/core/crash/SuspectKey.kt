package org.heatherwind.core.crash

import org.heatherwind.core.identity.CustomerId
import java.security.MessageDigest
import java.util.HexFormat

/**
 * Identifies what requests have in common that may crash targets: a part of their prompts, or the whole request. A
 * short hash, so that its size is bounded and it discloses nothing about the content.
 */
@JvmInline
public value class SuspectKey(public val value: String) {
    /** Whether this identifies whole requests and not a part of prompts. */
    public val isRequest: Boolean get() = value.startsWith(REQUEST_PREFIX)

    override fun toString(): String = value

    public companion object {
        private const val PART_PREFIX = "part-"
        private const val REQUEST_PREFIX = "request-"
        private const val SEPARATOR: Byte = 0

        /** Collisions of 64 bits are negligible among the parts of all prompts of some minutes. */
        private const val HASH_BYTES = 8
        private const val HEXADECIMAL_DIGITS = 16
        private val format = Regex("($PART_PREFIX|$REQUEST_PREFIX)[0-9a-f]{$HEXADECIMAL_DIGITS}")

        /** Hashing more would delay other requests; bodies that differ only after this are taken for the same. */
        private const val HASHED_BODY_BYTES = 65_536

        /** Returns the key of the prompt part [partKey]. */
        public fun ofPart(partKey: String): SuspectKey = SuspectKey(PART_PREFIX + hash(partKey.encodeToByteArray()))

        /** Returns the key of all requests of [customer] with this [method], [uri] and [body]. */
        public fun ofRequest(customer: CustomerId?, method: String, uri: String, body: ByteArray): SuspectKey =
            SuspectKey(
                REQUEST_PREFIX + hash(
                    customer?.value.orEmpty().encodeToByteArray(),
                    method.encodeToByteArray(),
                    uri.encodeToByteArray(),
                    body.size.toString().encodeToByteArray(),
                    if (body.size > HASHED_BODY_BYTES) body.copyOf(HASHED_BODY_BYTES) else body,
                ),
            )

        /** Returns the key written as [text], or null if it is not one. */
        public fun parse(text: String): SuspectKey? = if (format.matches(text)) SuspectKey(text) else null

        private fun hash(vararg fields: ByteArray): String {
            val digest = MessageDigest.getInstance("SHA-256")
            fields.forEach {
                digest.update(it)
                digest.update(SEPARATOR)
            }
            return HexFormat.of().formatHex(digest.digest(), 0, HASH_BYTES)
        }
    }
}
