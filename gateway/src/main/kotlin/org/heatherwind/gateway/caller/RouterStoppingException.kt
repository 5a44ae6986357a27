package org.heatherwind.gateway.caller

import kotlinx.coroutines.CancellationException

/** The router exits before the request can end. */
internal class RouterStoppingException : CancellationException("the router is stopping")
