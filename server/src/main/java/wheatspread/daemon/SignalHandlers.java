package wheatspread.daemon;

import java.lang.reflect.Proxy;

/**
 * Installs signal handlers. The JDK's class {@code sun.misc.Signal} is exported, but its use causes a compiler warning
 * that cannot be suppressed, so the class is looked up by name. A process must install its handlers before it starts
 * any work that a signal must not interrupt.
 */
public final class SignalHandlers {
    private SignalHandlers() {}

    /**
     * Runs a task whenever a signal is received, on a new thread of the JVM for each signal. Returns whether the
     * handler is effective: if the process was started with HUP, INT or TERM ignored, for example by {@code nohup}, the
     * signal remains ignored and the JVM does not change that.
     *
     * @param name the name of the signal without the prefix SIG, such as {@code HUP}
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
            Object previousHandler = signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance(name), proxy);
            return previousHandler != handler.getField("SIG_IGN").get(null);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("SIG" + name + " cannot be handled: " + e, e);
        }
    }
}
