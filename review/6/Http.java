import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages. */
final class Http {
    record Request(String method, String path, Map<String, String> headers, byte[] body) {
        String id() {
            return headers.getOrDefault("attempt-id", "");
        }
    }

    /** The status is 0 where no response came; the body is not complete where the connection ended before its end. */
    record Response(int status, Map<String, String> headers, byte[] body, boolean isComplete) {
        String text() {
            return new String(body, java.nio.charset.StandardCharsets.UTF_8);
        }
    }

    static final Response NONE = new Response(0, Map.of(), new byte[0], false);

    private Http() {}

    static String line(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (true) {
            int next = in.read();
            if (next < 0) return null;
            if (next == '\n') return bytes.toString().replaceAll("\r$", "");
            bytes.write(next);
        }
    }

    static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return headers;
    }

    static Request request(InputStream in) throws IOException {
        String line = line(in);
        if (line == null || line.isEmpty()) return null;
        String[] words = line.split(" ");
        Map<String, String> headers = headers(in);
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        return new Request(words[0], words[1], headers, body);
    }

    static Response response(InputStream in) {
        int status = 0;
        Map<String, String> headers = Map.of();
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            String line = line(in);
            if (line == null) return NONE;
            status = Integer.parseInt(line.split(" ")[1]);
            headers = headers(in);
            String length = headers.get("content-length");
            if (length != null) {
                byte[] read = in.readNBytes(Integer.parseInt(length));
                return new Response(status, headers, read, read.length == Integer.parseInt(length));
            }
            while (true) {
                String head = line(in);
                if (head == null) return new Response(status, headers, body.toByteArray(), false);
                int size = Integer.parseInt(head.trim(), 16);
                byte[] chunk = in.readNBytes(size);
                body.write(chunk);
                line(in);
                if (chunk.length < size) return new Response(status, headers, body.toByteArray(), false);
                if (size == 0) return new Response(status, headers, body.toByteArray(), true);
            }
        } catch (IOException | RuntimeException end) {
            return new Response(status, headers, body.toByteArray(), false);
        }
    }
}
