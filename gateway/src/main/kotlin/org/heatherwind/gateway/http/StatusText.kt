package org.heatherwind.gateway.http

/** A short text for whoever asks, with a status. */
internal class StatusText(val status: Int, val body: ByteArray)
