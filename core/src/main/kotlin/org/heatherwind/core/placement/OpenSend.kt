package org.heatherwind.core.placement

import org.heatherwind.core.identity.Moment

/**
 * One request that a target has.
 *
 * @property readingMilliseconds time that the target needs to read the prompt
 * @property occupiedTokens tokens of the target's memory that the request may take
 * @property expectedMilliseconds predicted time to the first event
 */
public class OpenSend(
    public val readingMilliseconds: Double,
    public val occupiedTokens: Long,
    public val expectedMilliseconds: Double,
    public val sentAt: Moment,
) {
    internal var isRead = false
}
