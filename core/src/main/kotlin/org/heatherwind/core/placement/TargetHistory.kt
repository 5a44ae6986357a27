package org.heatherwind.core.placement

import org.heatherwind.core.target.TargetAvailability
import org.heatherwind.core.target.TargetEntry

/**
 * What is known of one life of a target beyond its entry, which may expire and come back, or change its address. A
 * request that is still on its way to the earlier address counts too, so the pace and the statements are kept as such.
 *
 * @property entry the entry under which it was known
 * @property availability what it has stated about further requests
 */
public class TargetHistory internal constructor(
    public val entry: TargetEntry,
    public val availability: TargetAvailability,
    internal val pace: TargetPace,
    internal val coldStatements: ColdStatements,
)
