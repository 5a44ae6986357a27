package org.heatherwind.gateway.http

import io.netty.util.NetUtil
import java.net.InetSocketAddress

private val PORTS = 1..65_535

/** The address as `host:port`, the format that [socketAddressOf] parses. */
public val InetSocketAddress.hostAndPort: String get() = "$hostString:$port"

/**
 * Parses [text] of the form `host:port`. Returns null unless the host is an IP address and the port is from 1 to 65535;
 * names of hosts are never looked up.
 */
public fun socketAddressOf(text: String): InetSocketAddress? {
    val port = text.substringAfterLast(':').toIntOrNull()?.takeIf { it in PORTS } ?: return null
    val host = NetUtil.createInetAddressFromIpAddressString(text.substringBeforeLast(':')) ?: return null
    return InetSocketAddress(host, port)
}
