package org.heatherwind.gateway.caller

import kotlinx.coroutines.CancellationException

/** The caller closed the connection. */
internal class CallerDisconnectedException : CancellationException("the caller closed the connection")
