package org.heatherwind.gateway.http

/** A short text for whoever asks, with a status. */
internal class SimpleResponse(val status: Int, val body: ByteArray)
