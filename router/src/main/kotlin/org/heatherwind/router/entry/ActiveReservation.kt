package org.heatherwind.router.entry

import org.heatherwind.core.identity.Incarnation
import org.heatherwind.core.identity.ReservationId

/** The reservation under which a request runs: the process that holds the grant, and the reservation's ID at it. */
internal data class ActiveReservation(val holder: Incarnation, val id: ReservationId)
