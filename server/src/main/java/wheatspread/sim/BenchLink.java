package wheatspread.sim;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.BufferedOutputStream;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;

/**
 * The connection to the simulator. Each line read is a batch of events, and each line written contains the actions
 * decided in that batch.
 */
public final class BenchLink {
    private static final int BUFFER_BYTES = 1 << 16;

    private final JsonFactory json = new JsonFactory();
    private final JsonTreeParser parser = new JsonTreeParser(json);
    private final SimulatedFleet fleet = new SimulatedFleet(parser);
    private final BufferedReader in;
    private final OutputStream out;

    /** Thrown when the input cannot be decoded; the message names the line. */
    public static final class InvalidInputException extends RuntimeException {
        private static final long serialVersionUID = 1L;

        InvalidInputException(String message) {
            super(message);
        }
    }

    /** Creates a connection over the given streams. {@link #serve} processes the input. */
    public BenchLink(InputStream in, OutputStream out) {
        this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), BUFFER_BYTES);
        this.out = new BufferedOutputStream(out, BUFFER_BYTES);
    }

    /**
     * Processes every line until the end of the input.
     *
     * @throws InvalidInputException if a line cannot be decoded
     * @throws IOException if the input cannot be read or the output cannot be written
     */
    public void serve() throws IOException {
        long lineNumber = 0;
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            lineNumber++;
            processLine(line, lineNumber);
            out.write('\n');
            out.flush();
        }
    }

    private void processLine(String line, long lineNumber) throws IOException {
        try (JsonGenerator reply = json.createGenerator(out)) {
            reply.disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
            reply.disable(JsonGenerator.Feature.FLUSH_PASSED_TO_STREAM);
            fleet.process(parser.parseObject(line), reply);
        } catch (JsonProcessingException e) {
            throw new InvalidInputException("line " + lineNumber + ": not JSON: " + e.getOriginalMessage());
        } catch (InvalidInputException | IllegalArgumentException e) {
            throw new InvalidInputException("line " + lineNumber + ": " + e.getMessage());
        }
    }
}
