package org.heatherwind.gateway.http

import java.net.InetSocketAddress

/** The address as an IP number and a port, as [socketAddressOf] reads it. */
public val InetSocketAddress.hostAndPort: String get() = "$hostString:$port"

/** The address that [text] gives as an IP number and a port, or null where it names no port. */
public fun socketAddressOf(text: String): InetSocketAddress? =
    text.substringAfterLast(':').toIntOrNull()?.let { InetSocketAddress(text.substringBeforeLast(':'), it) }
