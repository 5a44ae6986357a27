package org.heatherwind.core.placement

import org.heatherwind.core.identity.MonotonicTime

/**
 * One request of this router that was sent to a target and has not ended.
 *
 * @property prefillMilliseconds predicted prefill time of the prompt
 * @property occupiedTokens tokens that the request may occupy in the target's cache
 * @property expectedMilliseconds time to the first event that is expected of a target of usual speed
 * @property slowdown factor by which work took longer than usual when it was sent, by the target's report
 * @property slowness factor by which the target takes longer than a usual one, as learned before it was sent
 */
public class InFlightRequest(
    public val prefillMilliseconds: Double,
    public val occupiedTokens: Long,
    public val expectedMilliseconds: Double,
    public val sentAt: MonotonicTime,
    public val slowdown: Double = 1.0,
    public val slowness: Double = 1.0,
) {
    internal var hasFirstEvent = false
}
