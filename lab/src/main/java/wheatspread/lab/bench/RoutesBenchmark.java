package wheatspread.lab.bench;

import java.lang.invoke.MethodHandle;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.MethodType;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import wheatspread.config.UwsgiConfig.Defaults;
import wheatspread.config.UwsgiConfig.Match;
import wheatspread.config.UwsgiConfig.Route;
import wheatspread.lab.settings.SettingsFiles;

/** Measures finding the route of a path among {@code routes}, as the uwsgi front does for every request. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class RoutesBenchmark {
    private static final Defaults NO_ROUTE = new Defaults(-1, -1, 0, 0, 24);
    private static final MethodHandle CONSTRUCTOR;
    private static final MethodHandle FIND;

    static {
        // the route table is package-private in the server
        try {
            Class<?> routes = Class.forName("wheatspread.uwsgi.Routes");
            MethodHandles.Lookup lookup = MethodHandles.privateLookupIn(routes, MethodHandles.lookup());
            CONSTRUCTOR = lookup.findConstructor(routes, MethodType.methodType(void.class, List.class, Defaults.class))
                    .asType(MethodType.methodType(Object.class, List.class, Defaults.class));
            FIND = lookup.findVirtual(routes, "find", MethodType.methodType(Defaults.class, String.class))
                    .asType(MethodType.methodType(Defaults.class, Object.class, String.class));
        } catch (ReflectiveOperationException e) {
            throw new ExceptionInInitializerError(e);
        }
    }

    @Param({"10", "100", "1000", "16000"})
    private int routes;

    /** The kind of match of the routes: the whole path, a prefix, or the two alternately. */
    @Param({"exact", "prefix", "mixed"})
    private String match;

    /** The position in the list of the route that matches. */
    @Param({"first", "middle", "last", "none"})
    private String place;

    private Object routeTable;
    private String path;

    /** Creates the route table and the path to find. */
    @Setup
    public void fill() throws Throwable {
        List<Route> list = IntStream.range(0, routes)
                .mapToObj(i -> new Route(matchOf(i), SettingsFiles.path(i), null, defaults(i), List.of()))
                .toList();
        routeTable = CONSTRUCTOR.invoke(list, NO_ROUTE);
        path = switch (place) {
            case "first" -> SettingsFiles.path(0);
            case "middle" -> SettingsFiles.path(routes / 2);
            case "last" -> SettingsFiles.path(routes - 1);
            default -> "/none/of/them/";
        };
    }

    private Match matchOf(int route) {
        return switch (match) {
            case "exact" -> Match.EXACT;
            case "prefix" -> Match.PREFIX;
            default -> route % 2 == 0 ? Match.EXACT : Match.PREFIX;
        };
    }

    private static Defaults defaults(int route) {
        return new Defaults(route % 4, -1, 0, 0, 24);
    }

    /** Finds the route of one path. */
    @Benchmark
    public Defaults find() throws Throwable {
        return (Defaults) FIND.invokeExact(routeTable, path);
    }
}
