import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages. */
final class Http {
    /** A message without its body; the names of headers are in lower case. */
    record Head(String line, Map<String, String> headers) {
        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        int status() {
            return Integer.parseInt(line.split(" ")[1]);
        }
    }

    /** Reads a head, or returns null at the end of the input. */
    static Head readHead(InputStream input) throws IOException {
        String line = readLine(input);
        if (line == null) return null;
        Map<String, String> headers = new HashMap<>();
        while (true) {
            String field = readLine(input);
            if (field == null) return null;
            if (field.isEmpty()) return new Head(line, headers);
            int split = field.indexOf(':');
            headers.put(field.substring(0, split).trim().toLowerCase(Locale.ROOT), field.substring(split + 1).trim());
        }
    }

    static String readLine(InputStream input) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        while (true) {
            int next = input.read();
            if (next < 0) return null;
            if (next == '\n') break;
            if (next != '\r') line.write(next);
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a body with a length or in chunks. Returns null if it ends early. */
    static byte[] readBody(InputStream input, Head head) throws IOException {
        return readBody(input, head, new ByteArrayOutputStream());
    }

    /** Does the same, and adds what arrives of a body in chunks to [body], also if it ends early. */
    static byte[] readBody(InputStream input, Head head, ByteArrayOutputStream body) throws IOException {
        if ("chunked".equalsIgnoreCase(head.header("Transfer-Encoding"))) {
            while (true) {
                String line = readLine(input);
                if (line == null) return null;
                int size = Integer.parseInt(line.trim(), 16);
                byte[] chunk = input.readNBytes(size);
                if (chunk.length < size || readLine(input) == null) return null;
                if (size == 0) return body.toByteArray();
                body.writeBytes(chunk);
            }
        }
        int length = Integer.parseInt(head.headers().getOrDefault("content-length", "0"));
        byte[] plain = input.readNBytes(length);
        return plain.length < length ? null : plain;
    }

    private Http() {}
}
