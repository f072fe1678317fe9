package wheatspread.daemon;

import java.lang.reflect.Proxy;

/**
 * SIGHUP, on which the JVM ends if nobody handles it. The JDK exports its signals to everybody, but in a
 * package whose use the compiler warns of without a way to say that it is meant; so they are looked up.
 */
final class Hangup {
    private Hangup() { }

    /** Runs a task, on a thread of the JVM's, whenever the signal comes. */
    static void handle(Runnable task) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy = Proxy.newProxyInstance(Hangup.class.getClassLoader(), new Class<?>[] {handler},
                (self, method, arguments) -> switch (method.getName()) {
                    case "handle" -> {
                        task.run();
                        yield null;
                    }
                    case "hashCode" -> System.identityHashCode(self);
                    case "equals" -> self == arguments[0];
                    default -> "reload on SIGHUP";
                });
            signal.getMethod("handle", signal, handler)
                .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), proxy);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("SIGHUP cannot be handled: " + e, e);
        }
    }
}
