package org.heatherwind.core.placement

import org.heatherwind.core.identity.MonotonicTime

/**
 * One request that a target has.
 *
 * @property prefillMilliseconds time that the target needs to read the prompt
 * @property occupiedTokens tokens of the target's memory that the request may take
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
