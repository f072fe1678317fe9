package wheatspread.daemon;

import java.lang.reflect.Proxy;

/**
 * Signals, on which the JVM ends if nobody handles them. The JDK exports them to everybody, but in a package
 * whose use the compiler warns of without a way to say that it is meant; so they are looked up.
 */
public final class SignalHandlers {
    private SignalHandlers() {}

    /**
     * Runs a task, on a thread of the JVM's, whenever a signal such as {@code HUP} comes. Returns whether it
     * will: a process that was started with HUP, INT or TERM ignored, as {@code nohup} does it, passes that
     * on to all that it starts, and the JVM leaves it so.
     */
    public static boolean handle(String name, Runnable task) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object proxy = Proxy.newProxyInstance(
                    SignalHandlers.class.getClassLoader(),
                    new Class<?>[] {handler},
                    (self, method, arguments) -> switch (method.getName()) {
                        case "handle" -> {
                            task.run();
                            yield null;
                        }
                        case "hashCode" -> System.identityHashCode(self);
                        case "equals" -> self == arguments[0];
                        default -> "handler of SIG" + name;
                    });
            Object before = signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance(name), proxy);
            return before != handler.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("SIG" + name + " cannot be handled: " + e, e);
        }
    }
}
