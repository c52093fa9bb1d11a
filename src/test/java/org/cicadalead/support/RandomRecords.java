package org.cicadalead.support;

import java.lang.reflect.Constructor;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.TreeSet;
import org.pcollections.TreePMap;

/**
 * Creates instances of any record type with random values of the right types. Names and numbers come from small sets,
 * so that equal values are likely.
 */
public final class RandomRecords {
    private static final long[] NUMBERS = {0, 1, 2, 3, 4, 5, 8, 64, -1, Integer.MAX_VALUE, Integer.MIN_VALUE};
    private static final int MAX_ATTEMPTS = 200;
    private static final int ELEMENT_COUNT_BOUND = 4;

    private final Random random;
    private final List<String> texts;

    public RandomRecords(Random random, List<String> texts) {
        this.random = random;
        this.texts = texts;
    }

    /** Returns an instance of a record, or of any record that a sealed interface permits. */
    public <T> T create(Class<T> type) {
        return type.cast(createValue(type));
    }

    private Object createValue(Type type) {
        if (type instanceof ParameterizedType parameterizedType) {
            return createContainer(parameterizedType);
        }
        Class<?> rawType = (Class<?>) type;
        if (rawType.isEnum()) {
            return rawType.getEnumConstants()[random.nextInt(rawType.getEnumConstants().length)];
        }
        if (rawType.isSealed()) {
            Class<?>[] permitted = rawType.getPermittedSubclasses();
            return createValue(permitted[random.nextInt(permitted.length)]);
        }
        if (rawType.isRecord()) {
            return record(rawType);
        }
        return createSimpleValue(rawType);
    }

    private Object createSimpleValue(Class<?> type) {
        long number = NUMBERS[random.nextInt(NUMBERS.length)];
        if (type == long.class || type == Long.class) {
            return random.nextInt(10) == 0 ? Long.MAX_VALUE : number;
        }
        if (type == int.class || type == Integer.class) {
            return (int) number;
        }
        if (type == double.class || type == Double.class) {
            return number / 3.0;
        }
        if (type == boolean.class || type == Boolean.class) {
            return random.nextBoolean();
        }
        if (type == byte[].class) {
            return new byte[] {(byte) number};
        }
        if (type == Duration.class) {
            return Duration.ofMillis(number);
        }
        if (type == String.class) {
            return texts.get(random.nextInt(texts.size()));
        }
        throw new IllegalArgumentException("cannot create random values of " + type);
    }

    private Object createContainer(ParameterizedType type) {
        Class<?> raw = (Class<?>) type.getRawType();
        Type element = type.getActualTypeArguments()[0];
        if (raw == Optional.class) {
            return random.nextBoolean() ? Optional.of(createValue(element)) : Optional.empty();
        }
        List<Object> elements = new ArrayList<>();
        for (int count = random.nextInt(ELEMENT_COUNT_BOUND); count > 0; count--) {
            elements.add(createValue(element));
        }
        if (raw == TreePMap.class) {
            TreeMap<Object, Object> map = new TreeMap<>();
            elements.forEach(key -> map.put(key, createValue(type.getActualTypeArguments()[1])));
            return TreePMap.fromSortedMap(map);
        }
        return raw.isAssignableFrom(List.class) || raw == List.class ? elements : new TreeSet<>(elements);
    }

    /** Creates a record; constructors reject some values, so several combinations are tried. */
    private Object record(Class<?> type) {
        RecordComponent[] components = type.getRecordComponents();
        Class<?>[] types =
                Arrays.stream(components).map(RecordComponent::getType).toArray(Class<?>[]::new);
        for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
            Object[] values = Arrays.stream(components)
                    .map(component -> createValue(component.getGenericType()))
                    .toArray();
            try {
                Constructor<?> constructor = type.getDeclaredConstructor(types);
                constructor.setAccessible(true);
                return constructor.newInstance(values);
            } catch (InvocationTargetException rejected) {
                if (!(rejected.getCause() instanceof IllegalArgumentException)) {
                    throw new IllegalStateException(rejected);
                }
            } catch (ReflectiveOperationException failure) {
                throw new IllegalStateException(failure);
            }
        }
        throw new IllegalStateException("no random values that the constructor of " + type + " accepts");
    }
}
