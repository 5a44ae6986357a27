package org.heatherwind.core.placement

import org.heatherwind.core.identity.MonotonicTime

/**
 * One request of this router that was sent to a target and has not ended.
 *
 * @property prefillMilliseconds predicted prefill time of the prompt
 * @property occupiedTokens tokens that the request may occupy in the target's cache
 * @property expectedMilliseconds predicted time to the first event
 */
public class InFlightRequest(
    public val prefillMilliseconds: Double,
    public val occupiedTokens: Long,
    public val expectedMilliseconds: Double,
    public val sentAt: MonotonicTime,
) {
    internal var hasFirstEvent = false
}
