package org.heatherwind.router.entry

import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.ReservationId

/** Under what a request runs: the process that holds the grant, and the name of the reservation there. */
internal data class RunningGrant(val holder: Incarnation, val reservation: ReservationId)
