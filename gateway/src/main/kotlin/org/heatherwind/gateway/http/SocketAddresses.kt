package org.heatherwind.gateway.http

import java.net.InetSocketAddress

/** The address as `host:port`, the format that [socketAddressOf] parses. */
public val InetSocketAddress.hostAndPort: String get() = "$hostString:$port"

/** Parses [text] of the form `host:port`, where the host is an IP address. Returns null if it has no port. */
public fun socketAddressOf(text: String): InetSocketAddress? =
    text.substringAfterLast(':').toIntOrNull()?.let { InetSocketAddress(text.substringBeforeLast(':'), it) }
