package integration

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"
)

// TestComments fails for each package without a package comment and each exported name without a comment,
// outside tests.
func TestComments(t *testing.T) {
	packages := map[string]bool{} // by directory, whether the package has a comment
	files := token.NewFileSet()
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(files, path, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		dir := filepath.Dir(path)
		packages[dir] = packages[dir] || file.Doc != nil
		for _, name := range uncommented(file) {
			t.Errorf("%s: %s has no comment", files.Position(name.Pos()), name.Name)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if len(packages) == 0 {
		t.Error("no Go package found below the module's directory")
	}
	for dir, commented := range packages {
		if !commented {
			t.Errorf("package %s has no comment", dir)
		}
	}
}

// TestUncommented checks what counts as a comment.
func TestUncommented(t *testing.T) {
	const text = `package trial
func Bare() {}
// Good is commented.
func Good() {}
func small() {}
type BareType struct{}
func (BareType) BareMethod() {}
func (*BareType) BarePointer() {}
type small struct{}
func (small) Method() {}
type BareGeneric[T any] struct{}
func (*BareGeneric[T]) BareOfGeneric() {}
const BareConst = 1
var (
	BareVar, goodVar = 1, 2
	GoodVar = 3 // commented
)
// Commented together.
const (
	GoodOne = 1
	GoodTwo = 2
)
`
	file, err := parser.ParseFile(token.NewFileSet(), "trial.go", text, parser.ParseComments)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, name := range uncommented(file) {
		names = append(names, name.Name)
	}
	const want = "Bare BareType BareMethod BarePointer BareGeneric BareOfGeneric BareConst BareVar"
	if got := strings.Join(names, " "); got != want {
		t.Errorf("uncommented() = %s, want %s", got, want)
	}
}

// uncommented returns the exported names of a file that have no comment. A comment on a group of
// constants, variables or types counts for all of them. Methods of unexported types need none.
func uncommented(file *ast.File) (names []*ast.Ident) {
	for _, declaration := range file.Decls {
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			if d.Doc == nil && d.Name.IsExported() && (d.Recv == nil || receiver(d).IsExported()) {
				names = append(names, d.Name)
			}
		case *ast.GenDecl:
			if d.Doc == nil {
				names = append(names, uncommentedSpecs(d.Specs)...)
			}
		}
	}
	return names
}

func uncommentedSpecs(specs []ast.Spec) (names []*ast.Ident) {
	for _, spec := range specs {
		switch s := spec.(type) {
		case *ast.TypeSpec:
			if s.Doc == nil && s.Comment == nil && s.Name.IsExported() {
				names = append(names, s.Name)
			}
		case *ast.ValueSpec:
			for _, name := range s.Names {
				if s.Doc == nil && s.Comment == nil && name.IsExported() {
					names = append(names, name)
				}
			}
		}
	}
	return names
}

// receiver returns the type name of a method's receiver.
func receiver(method *ast.FuncDecl) *ast.Ident {
	kind := method.Recv.List[0].Type
	for {
		switch k := kind.(type) {
		case *ast.StarExpr:
			kind = k.X
		case *ast.IndexExpr:
			kind = k.X
		case *ast.IndexListExpr:
			kind = k.X
		default:
			return k.(*ast.Ident)
		}
	}
}
