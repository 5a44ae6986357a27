package org.heatherwind.gateway.http

/** Statuses of responses that never have a body (RFC 9110, section 6.4.1). */
internal val BODILESS_STATUSES: Set<Int> = setOf(204, 304)
