package wheatspread.daemon;

import java.lang.reflect.Proxy;

/**
 * Handlers of signals. The JDK's class for them is exported, but the compiler warns of its use without a way to
 * suppress the warning, so it is looked up by name. A process installs its handlers before its start does anything
 * that a signal must not interrupt.
 */
public final class SignalHandlers {
    private SignalHandlers() {}

    /**
     * Runs a task whenever a signal such as {@code HUP} comes, on a thread that the JVM starts for each. Returns
     * whether it will: a process that was started with HUP, INT or TERM ignored, as {@code nohup} does it, passes that
     * on to its children, and the JVM does not change it.
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
