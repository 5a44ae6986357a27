package org.heatherwind.gateway.serve

/**
 * What one attempt received from its target.
 *
 * @property bytes bytes received, with heads and framing
 * @property parts parts of responses, as heads, chunks of bodies and ends
 * @property forwardedEvents events that were forwarded to the caller
 */
internal data class ReceivedCounts(val bytes: Long, val parts: Long, val forwardedEvents: Long)
